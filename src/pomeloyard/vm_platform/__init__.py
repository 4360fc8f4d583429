"""The VM service and the lagging list of VMs, as interfaces."""
