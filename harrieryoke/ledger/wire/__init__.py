"""The collector's protocol: `ledger.proto` is its description, `ledger_pb2.py` is made of it by protoc."""
