# bash completion for kumquatctl; source it, or put it among the completion files.
_kumquatctl () {
  local cur=${COMP_WORDS[COMP_CWORD]} words=() w kind
  local kinds="service class team worker caller policy"
  local options="--server --token-file --node --timeout --json --no-color --dry-run
    --prune --revision --shard --limit --interval --count --team --class --priority --key
    --cpu-milli --memory-mb --accelerators --run-ms --markdown --version --help"
  for w in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    [[ $w == -* || $w == "=" ]] || words+=("$w")
  done
  local choices=""
  if [[ $cur == -* ]]; then
    choices=$options
  else
    case "${#words[@]}:${words[0]:-}:${words[1]:-}" in
      0:*) choices="table job worker node fleet shard top explain account results reference" ;;
      1:table:*) choices="show get set add rm export import wait" ;;
      1:job:*) choices="submit show list cancel" ;;
      1:node:*) choices="list show drain log-level" ;;
      1:fleet:*) choices="explain load cordons" ;;
      1:worker:* | 1:shard:*) choices="list" ;;
      1:reference:*) choices="settings table" ;;
      2:table:show | 2:table:get | 2:table:set | 2:table:add | 2:table:rm | 2:table:export)
        choices=$kinds ;;
      2:table:import) mapfile -t COMPREPLY < <(compgen -f -- "$cur"); return ;;
      3:node:log-level) choices="error warn info debug" ;;
      *:table:set | *:table:add)
        if [[ ${#words[@]} -ge 4 ]]; then
          kind=${words[2]}
          choices=$(kumquatctl reference table 2>/dev/null | awk -v k="$kind" '
            /^\.SS / { on = ($2 == k) } on && /^\.B / { print $2 "=" }')
          compopt -o nospace 2>/dev/null
        fi ;;
    esac
  fi
  mapfile -t COMPREPLY < <(compgen -W "$choices" -- "$cur")
}
complete -F _kumquatctl kumquatctl
