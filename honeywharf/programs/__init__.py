"""The mesh's programs, thin: each puts together what the packages offer."""
