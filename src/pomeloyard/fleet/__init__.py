"""VMs, pools, budgets, waves, repairs, and the controller role."""
