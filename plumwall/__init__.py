"""Test workbench for the gateway: commands, an emulated environment, a judge of runs and a load generator.

`yewstage` is the production program; it does not import this package.
"""

VERSION = "0.2.0"
