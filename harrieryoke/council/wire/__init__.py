"""The members' protocol: `council.proto` describes it, and `council_pb2.py` is generated from that."""
