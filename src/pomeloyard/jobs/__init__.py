"""Jobs from submission to result, and the scheduler role."""
