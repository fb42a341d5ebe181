# Sourced by examples: sends prompts until stopped. Every response must be complete or refused as not run.
load_begin() {
  load_file=$(mktemp)
  (
    n=0
    while [ ! -e "$load_file.stop" ]; do
      n=$((n + 1))
      curl -sS -w '\n' "http://$ENTRY/v1/completions" -H "Authorization: Bearer $KEY" \
        -d "{\"model\": \"m\", \"prompt\": \"load $n\", \"max_tokens\": 10}" >>"$load_file"
    done
  ) &
  load_pid=$!
}
load_end() {
  touch "$load_file.stop"
  wait "$load_pid"
  whole=$(grep -c '"finish_reason":"length"' "$load_file" || true)
  other=$(grep -v '"finish_reason":"length"' "$load_file" | grep -vc '"outcome":"not_run"' || true)
  echo "under load: $whole answered whole, $other neither whole nor refused as not run"
  [ "$whole" -gt 0 ] && [ "$other" -eq 0 ]
}
