/** Types of the calls from the command line to the administration API. */

export interface AdministrationCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path relative to the API's versioned path. */
  readonly path: string;
  /** Versioned path of another API than the administration's. */
  readonly basePath?: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

export interface AdministrationAnswer {
  readonly status: number;
  readonly entityTag: string;
  readonly body: unknown;
}

/** Formats the body of a successful answer for people. */
export type FormatAnswer = (body: unknown) => string;
