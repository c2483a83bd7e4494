"""What is held for others, copied: groups of replicas, each with a store that consensus keeps the same.

Off in `run`; a process of its own, `python -m yewstage.holding`.
"""
