"""Jobs of many tasks in steps: accepting, placing, following and maintaining.

The daemon that takes a call stores the job; one daemon at a time, the holder of
the placing role, starts its tasks on executors and follows them to their end.
"""
