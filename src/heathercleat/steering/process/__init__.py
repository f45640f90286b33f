"""The long-lived parts of the steering process."""
