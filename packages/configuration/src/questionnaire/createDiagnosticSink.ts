import { isMap, isNode, isScalar, isSeq } from 'yaml';
import type { Document, LineCounter, Node } from 'yaml';
import type { Diagnostic, DiagnosticMessage } from '../types';
import diagnosticMessages from './diagnosticMessages';
import formatFieldPath from './formatFieldPath';
import type { DiagnosticArguments, DiagnosticName, DiagnosticSink, FieldPath } from './types';

interface DiagnosticSinkOptions {
  readonly fileName: string;
  readonly document: Document;
  readonly lineCounter: LineCounter;
}

/** Creates the collector of diagnostics for one file. */
export default function createDiagnosticSink(options: DiagnosticSinkOptions): DiagnosticSink {
  const { fileName, document, lineCounter } = options;
  const collected: Diagnostic[] = [];

  function add(
    name: DiagnosticName,
    offset: number,
    field: string,
    values: DiagnosticArguments,
  ): void {
    const { line, col } = lineCounter.linePos(offset);
    const message: DiagnosticMessage = diagnosticMessages[name];
    collected.push({
      kind: 'diagnostic',
      code: message.code,
      category: message.category,
      fileName,
      line: Math.max(1, line),
      column: Math.max(1, col),
      field,
      message: fillTemplate(message.template, values),
      allowed: fillTemplate(message.allowed, values),
    });
  }

  return {
    report(name, path, values = {}) {
      add(name, offsetOfValue(document, path), formatFieldPath(path), values);
    },
    reportKey(name, path, values = {}) {
      add(name, offsetOfKey(document, path), formatFieldPath(path), values);
    },
    reportOffset(name, offset, values = {}) {
      add(name, offset, '', values);
    },
    lineOf: (path) => lineCounter.linePos(offsetOfValue(document, path)).line,
    diagnostics: () =>
      collected.toSorted((left, right) => left.line - right.line || left.column - right.column),
  };
}

function fillTemplate(template: string, values: DiagnosticArguments): string {
  return template.replace(/\{(\w+)\}/g, (_, name: string) => String(values[name] ?? ''));
}

function startOf(node: unknown): number | undefined {
  return isNode(node) ? node.range?.[0] : undefined;
}

function childOf(node: Node | null, key: string | number): unknown {
  return isMap(node) || isSeq(node) ? node.get(key, true) : undefined;
}

/** Returns the offset of the value at `path`, or of its nearest enclosing value. */
function offsetOfValue(document: Document, path: FieldPath): number {
  let node: Node | null = document.contents;
  let offset = startOf(node) ?? 0;
  for (const key of path) {
    const child = childOf(node, key);
    if (!isNode(child)) {
      return offset;
    }
    node = child;
    offset = startOf(child) ?? offset;
  }
  return offset;
}

function offsetOfKey(document: Document, path: FieldPath): number {
  const parentPath = path.slice(0, -1);
  const parent = parentPath.length === 0 ? document.contents : document.getIn(parentPath, true);
  const pair = isMap(parent)
    ? parent.items.find(({ key }) => isScalar(key) && key.value === path.at(-1))
    : undefined;
  return startOf(pair?.key) ?? offsetOfValue(document, path);
}
