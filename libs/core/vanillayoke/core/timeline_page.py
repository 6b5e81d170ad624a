"""The HTML page of a timeline."""

HUE_STEP = 67

# A template for str.format, so braces of style and script are doubled. The
# page works without the script, which only hides rows.
PAGE = """<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>Timeline</title>
<style>
body {{ font: 14px/1.4 system-ui, sans-serif; margin: 1rem; }}
table {{ border-collapse: collapse; width: 100%; }}
th {{ position: sticky; top: 0; background: #fff; text-align: left; }}
th, td {{ padding: .15rem .5rem; vertical-align: top; }}
td {{ border-top: 1px solid #ddd; overflow-wrap: anywhere; }}
td:nth-child(1) {{ white-space: nowrap; font-family: monospace; }}
td:nth-child(2) {{ border-left: .4rem solid hsl(var(--hue) 60% 55%); }}
td:nth-child(4), td:nth-child(7) {{ font-size: 12px; color: #444; }}
tr.debug td {{ color: #666; }}
tr.warning td {{ background: #fff4d6; }}
tr.error td {{ background: #ffe0dd; }}
input {{ font: inherit; width: 30rem; max-width: 100%; }}
</style>
</head>
<body>
<h1>Timeline</h1>
<p>{count} events of {instances} instances in causal order; times are UTC.
<label>Show rows with all of these words:
<input id="words" type="search" autocomplete="off"></label>
<span id="shown"></span></p>
<table>
<thead><tr><th>Time</th><th>Instance</th><th>Event</th><th>Program</th>
<th>Target</th><th>What happened</th><th>Fields</th></tr></thead>
<tbody>
{rows}</tbody>
</table>
<script>
const rows = [...document.querySelectorAll('tbody tr')];
const words = document.getElementById('words');
words.addEventListener('input', () => {{
  const wanted = words.value.toLowerCase().split(/\\s+/).filter(Boolean);
  let shown = 0;
  for (const row of rows) {{
    const text = row.textContent.toLowerCase();
    row.hidden = !wanted.every((word) => text.includes(word));
    shown += row.hidden ? 0 : 1;
  }}
  document.getElementById('shown').textContent = shown + ' shown';
}});
</script>
</body>
</html>
"""
