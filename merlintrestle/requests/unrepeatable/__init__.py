"""At-most-once execution of calls, with claims in the store.

A daemon claims the key of a call in the store before it runs the call, and is
then the holder of the claim. Another daemon that finds the claim recalls it,
i.e. queries the holder for the state of the claim and for the stored answer.
"""
