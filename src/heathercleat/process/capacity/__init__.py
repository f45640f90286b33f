"""Slots of targets: who may use them, who waits, which targets answer."""
