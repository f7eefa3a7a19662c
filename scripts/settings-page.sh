#!/usr/bin/env bash
# Generates docs/SETTINGS.md from the setting tables of the programs.
set -euo pipefail
cd "$(dirname "$0")/.."
{
  echo "# Settings"
  echo
  echo "Made by \`scripts/settings-page.sh\` from the tables that check the settings."
  echo "A program reads an INI file (\`--config FILE\`) and single settings"
  echo "(\`--set section.key=value\`), which go before the file. An unknown, missing or"
  echo "out-of-range setting ends the program with exit code 2 and names file, key,"
  echo "value and range. \`--check-config\` only checks; \`--help-config\` lists."
  for program in rhubarb-entry rhubarb-lookup rhubarb-steer; do
    echo
    echo "## $program"
    echo
    build/bin/$program --help-config --markdown
  done
  echo
  echo "## rhubarb-node"
  echo
  echo "On the users' platform: lines of \`key=value\`, as the platform writes them."
  echo "The file is looked at every 2 s and on SIGHUP; an unusable one changes nothing."
  echo
  build/bin/rhubarb-node --help-config --markdown
} >docs/SETTINGS.md
