#!/usr/bin/env bash
# Checks the docs against the code: reference tables, test names, commands.
# Usage: misc/check_docs.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
tool="$1/tool/yardwheelctl"
failed=0
complain() {
  echo "docs: $1" >&2
  failed=1
}

# Every row of the reference tables stands in the operators' page as it is.
while IFS= read -r row; do
  [ -z "$row" ] && continue
  grep -qxF -- "$row" docs/OPERATORS.md || complain "OPERATORS.md lacks: $row"
done < <("$tool" settings reference)

# Every test that the proofs name exists.
while IFS= read -r name; do
  grep -rqE "TEST\(${name%%.*}, ${name##*.}\)" tests ||
    complain "PROOFS.md names $name, which is no test"
done < <(grep -oE '[A-Z][A-Za-z]+Test\.[A-Z][A-Za-z]+' docs/PROOFS.md | sort -u)

# Every command that the docs show is one of the tool's.
while IFS= read -r words; do
  # shellcheck disable=SC2086
  "$tool" $words --help | grep -q "^yardwheelctl $words" ||
    complain "the tool has no command '$words'"
done < <(grep -hoE '^    \$ctl [a-z]+( [a-z]+)?' docs/*.md | cut -c10- |
  sed -E 's/^(minions|status|replica).*/\1/' | sort -u)

# Every script and page that the docs name exists.
while IFS= read -r path; do
  [ -e "$path" ] || complain "$path does not exist"
done < <(grep -hoE '(tests/)?(misc|docs|entry|bench|dispatch|catalog|agent|ledger)/[A-Za-z0-9_./-]+\.(sh|md|h|cpp|json|yaml|txt)' \
  README.md CONTRIBUTING.md docs/*.md docs/design/*.md | sort -u)

exit $failed
