"""Which server takes a call of one gateway: the decision module with prompts, regions and shares in view.

`pool.py` hosts one service, `balancer.py` decides; every other module is a part of the decision that stands
by itself.
"""
