# Where reads were refused three times in a row, the next ones are told at once to come back later, and every
# fourth tries again. Harvest logs always go on, and their model is kept warm for the next one.

def on_request(request):
    if request["class"] == "harvest-log":
        return {"warm": [request["function"]], "label": "harvest"}
    row = int(state_get("refused") or "0")
    if row >= 3:
        state_put("refused", str(row - 1 if row > 3 else 6))
        if row > 3:
            return {"refuse_ms": 300, "label": "quiet"}
    return {"label": "read"}

def on_outcome(request, outcome):
    if request["class"] == "harvest-log":
        return
    row = int(state_get("refused") or "0")
    if outcome == "served":
        state_put("refused", None)
    elif outcome == "refused" and row < 3:
        state_put("refused", str(row + 1))
