# An example of a plug-in: [plugin] file = "hooks.star" in the operator's file.

def on_request(request):
    """None goes on; "refuse" or {"refuse_ms": N} refuses; in MQTT {"function": "16 hex digits"} names the model."""
    if request["left_ms"] < 100:
        return {"refuse_ms": 200}
    return None

def on_outcome(request, outcome):
    """served, refused, failed or withdrawn: only to watch."""
    return None
