# Prints messages and payload bytes per second of each method from two pages of
# /metrics: awk -v span=SECONDS -f method-traffic.awk before after
/^catkin_peer_(messages|payload_bytes)_total/ {
  split($1, p, /[{}]/)
  name = p[1] " " p[2]
  if (FNR == NR) before[name] = $2
  else printf "%-90s %8.1f /s\n", name, ($2 - before[name]) / span
}
