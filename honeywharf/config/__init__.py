"""Configuration of a proxy: parsing, checks and reload rules. `features` is imported only if it is used."""
