"""Model placement: the pure planner and the controller that executes its plans."""
