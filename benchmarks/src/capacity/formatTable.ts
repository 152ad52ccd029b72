import type { CapacityRow, CapacityTarget } from './types';

const PERCENT = 100;
const BYTES_PER_KILOBYTE = 1_000;

/** Formats the rows as a Markdown table, with the budget as its last row. */
export default function formatTable(rows: readonly CapacityRow[], target: CapacityTarget): string {
  const budget = [
    '**budget of a host for control**',
    '',
    `${target.controlBytesPerSecond / BYTES_PER_KILOBYTE} KB/s`,
    `${target.controlCoreShare * PERCENT} % of a core`,
    `${target.controlMegabytes} MB`,
  ];
  const lines = [
    ['Role', 'State', 'Messages', 'Processor', 'Memory'],
    ['---', '---', '---', '---', '---'],
    ...rows.map((row) => [row.role, row.state, row.messages, row.processor, row.memory]),
    budget,
  ];
  return lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}
