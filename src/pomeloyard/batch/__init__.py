"""Batch jobs of many tasks in steps: submission, placement, tracking, VM maintenance.

The daemon that receives a submission stores the job. One daemon at a time, the holder
of the placing role, starts the tasks on executors and tracks them until they end.
"""
