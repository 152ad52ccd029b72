/** Calls of the command line to the administration API. */

export interface AdministrationCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Below the API's versioned path. */
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

export interface AdministrationAnswer {
  readonly status: number;
  readonly entityTag: string;
  readonly body: unknown;
}

/** How a command shows a successful answer to a person. */
export type FormatAnswer = (body: unknown) => string;
