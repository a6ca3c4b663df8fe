"""The second front: MQTT triggers, on the same core and under the same rules as JSON-RPC calls."""
