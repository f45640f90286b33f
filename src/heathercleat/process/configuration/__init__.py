"""The operators' text: followed, edited and kept on the platform."""
