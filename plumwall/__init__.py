"""The workbench round the gateway: commands, an emulator of its world, a judge and a load tool.

`yewstage` is the program in service and imports nothing of this.
"""

VERSION = "0.2.0"
