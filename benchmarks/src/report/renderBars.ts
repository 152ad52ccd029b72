import { init } from 'echarts';
import type { BarPlot } from './types';

const WIDTH_PIXELS = 860;
const HEIGHT_PIXELS = 320;
const PERCENT_MAXIMUM = 100;
// Okabe and Ito's palette, which colour-blind readers can distinguish.
const COLOURS = ['#0072b2', '#e69f00', '#009e73', '#cc79a7', '#56b4e9'];

/** Renders a bar plot as SVG text. */
export default function renderBars(plot: BarPlot): string {
  const chart = init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH_PIXELS,
    height: HEIGHT_PIXELS,
  });
  chart.setOption({
    animation: false,
    color: COLOURS,
    legend: { top: 0 },
    grid: { left: 80, right: 20, top: 40, bottom: 60 },
    xAxis: {
      type: 'category',
      name: plot.categoryAxis,
      nameLocation: 'middle',
      nameGap: 34,
      data: [...plot.categories],
      axisLabel: { interval: 0 },
    },
    yAxis: {
      type: plot.valueScale === 'logarithmic' ? 'log' : 'value',
      name: plot.valueAxis,
      nameLocation: 'middle',
      nameGap: 50,
      ...(plot.valueScale === 'percent' ? { min: 0, max: PERCENT_MAXIMUM } : {}),
    },
    series: plot.series.map(({ name, values }) => ({
      type: 'bar' as const,
      name,
      data: values.map((value) => value ?? '-'),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
