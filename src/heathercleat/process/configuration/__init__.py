"""The configuration: polling, gossip, edits and its storage on the platform."""
