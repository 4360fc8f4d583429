"""Clients of workers, the VMs that run tasks."""
