"""The stand-ins: processes of their own that do as the plan says and write down what they see."""
