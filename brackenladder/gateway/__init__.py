"""The data plane on a `front` machine: client requests to servers and their answers back."""
