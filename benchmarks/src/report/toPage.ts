import escapeText from './escapeText';
import renderBars from './renderBars';
import type { PageSection } from './types';

const STYLE = `
body { font: 16px/1.5 sans-serif; color: #222; max-width: 900px; margin: 2em auto; padding: 0 1em; }
svg { max-width: 100%; height: auto; }
h3 { margin-bottom: 0; }
p { margin: 0.3em 0; }
`;

function toSection({ heading, plots, notRecorded }: PageSection): string {
  const renderedPlots = plots.map(
    (plot) =>
      `<h3>${escapeText(plot.heading)}</h3>\n<p>${escapeText(plot.text)}</p>\n${renderBars(plot)}`,
  );
  const notRecordedItems = notRecorded.map((each) => `<li>${escapeText(each)}</li>`).join('\n');
  return `<h2>${escapeText(heading)}</h2>\n${renderedPlots.join('\n')}\n<p>Not recorded:</p>\n<ul>\n${notRecordedItems}\n</ul>`;
}

/** Renders the page as an HTML document without scripts or external resources. */
export default function toPage(sections: readonly PageSection[]): string {
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>rattanreel: reports</title>
<style>${STYLE}</style>
</head>
<body>
<h1>rattanreel: reports</h1>
${sections.map(toSection).join('\n')}
</body>
</html>
`;
}
