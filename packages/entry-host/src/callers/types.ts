/** Types of callers' requests as one entry host handles them. */
import type { RequestListener, ServerResponse } from 'node:http';
import type { HttpBindings } from '@hono/node-server';
import type { AdministrationServices } from '@rattanreel/administration';
import type {
  CustomerSettings,
  ServicePoolSettings,
  ServiceRouteSettings,
  TierSettings,
} from '@rattanreel/configuration';
import type {
  BackendServerId,
  Clock,
  FailureDomainId,
  Milliseconds,
  Random,
  RequestId,
  TierRank,
} from '@rattanreel/core';
import type {
  BackendServerError,
  EngineClient,
  ServiceResponse,
  ServiceClient,
  StreamResult,
} from '@rattanreel/dispatch';
import type { DecisionLog, Logger, Metrics } from '@rattanreel/observability';
import type {
  DispatchOrder,
  Execution,
  OrderExecutor,
  OrderRequest,
  OrderResult,
} from '@rattanreel/orders';
import type { GrantRequest, GrantClient, GrantResult, HeldGrant } from '../scheduling/types';
import type { Admission, SettingsView } from '../types';

/** Returns the base URL of a backend server. */
export type GetBackendServerAddress = (backendServer: BackendServerId) => string;

/** One kind of problem that a caller can see. */
export interface ProblemType {
  readonly code: string;
  readonly status: 400 | 401 | 403 | 404 | 408 | 413 | 422 | 502 | 503 | 504;
  readonly title: string;
}

/** Details added to a problem in one case. */
export interface ProblemDetails {
  readonly request?: RequestId;
  readonly detail?: string;
  readonly retryAfter?: Milliseconds;
}

/** A problem document according to RFC 9457. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: ProblemType['status'];
  /** What is known of the request's execution. */
  readonly execution: Execution;
  /** The same for OpenAI-style clients, which read only this member; `type` is the execution. */
  readonly error: {
    readonly message: string;
    readonly type: Execution;
    readonly code: string;
  };
  readonly request?: RequestId;
  readonly detail?: string;
  readonly retryAfterSeconds?: number;
}

export interface MalformedBody {
  readonly kind: 'malformedBody';
  readonly detail: string;
}

/** The words of a prompt: their number, and the first of them. */
export interface PromptWords {
  readonly count: number;
  readonly first: readonly string[];
}

/** The parts of a chat completion request that routing needs. */
export interface ChatRequest {
  readonly model: string;
  readonly stream: boolean;
  /** Whether the caller requested the chunk with token counts. */
  readonly includeUsage: boolean;
  readonly maximumOutputTokens: number;
  readonly promptWords: PromptWords;
  /** The request body sent to the engine. */
  readonly engineBody: string;
}

/** A complete chat completion in OpenAI's format. */
export interface ChatAnswer {
  readonly id: string;
  readonly object: 'chat.completion';
  readonly created: number;
  readonly model: string;
  readonly choices: readonly {
    readonly index: number;
    readonly message: { readonly role: 'assistant'; readonly content: string };
    readonly finish_reason: string;
  }[];
  readonly usage: {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly total_tokens: number;
    readonly prompt_tokens_details: { readonly cached_tokens: number };
  };
}

/** A caller identified by its API key, with the tier at which the request runs. */
export interface AuthenticatedCaller {
  readonly customer: CustomerSettings;
  readonly rank: TierRank;
  readonly tier: TierSettings;
}

/** Dependencies of the handlers of callers' requests. */
export interface CallerServices {
  readonly failureDomain: FailureDomainId;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly grants: GrantClient;
  readonly engineClient: EngineClient;
  readonly serviceClient: ServiceClient;
  readonly orders: OrderExecutor;
  readonly orderDispatcher: OrderDispatcher;
  /** Returns the active settings; undefined until the first are known. */
  readonly tryGetSettings: () => SettingsView | undefined;
  /** Counts requests in flight and decides whether new ones are admitted. */
  readonly admission: Admission;
}

/** A chat request that this entry host handles. */
export interface ChatJob {
  readonly grantRequest: GrantRequest;
  readonly callerConnection: CallerConnection;
  readonly tier: string;
  readonly model: string;
  readonly includeUsage: boolean;
  readonly engineBody: string;
  /** The tier's limit on the time between tokens. */
  readonly betweenTokens: Milliseconds;
  readonly getAddress: GetBackendServerAddress;
}

/** How a chat request ended. */
export type ChatOutcome =
  | Exclude<GrantResult, { readonly kind: 'granted' }>
  | { readonly kind: 'ended'; readonly heldGrant: HeldGrant; readonly stream: StreamResult };

/** A call of a plain service that this entry host handles. */
export interface ServiceJob {
  readonly request: RequestId;
  readonly caller: AuthenticatedCaller;
  readonly pool: ServicePoolSettings;
  readonly route: ServiceRouteSettings;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly dueAt: Milliseconds;
  readonly signal: AbortSignal;
  readonly getAddress: GetBackendServerAddress;
}

/** How a call of a plain service ended. */
export type ServiceOutcome =
  | Exclude<GrantResult, { readonly kind: 'granted' }>
  | { readonly kind: 'answered'; readonly answer: ServiceResponse }
  | { readonly kind: 'failed'; readonly error: BackendServerError; readonly notRun: boolean };

/** Runs orders at their backend servers for the order executor. */
export interface OrderDispatcher {
  readonly dispatch: DispatchOrder;
  /** Keeps the job of an order available to `dispatch` while `submit` runs. */
  withJob(
    order: OrderRequest,
    job: ServiceJob,
    submit: () => Promise<OrderResult>,
  ): Promise<OrderResult>;
}

/** The listener for callers of one entry host. */
export interface CallerListener {
  readonly address: string;
  /** Makes each further request close its connection with its response. */
  startDraining(): void;
  /** Returns the number of requests whose response has not been sent. */
  countActive(): number;
  /** Returns the number of whole responses that were sent since the drain began. */
  countAnswered(): number;
  /** Stops listening and resolves once all responses have been sent, or after this time. */
  drain(duration: Milliseconds): Promise<void>;
  /** Ends what has no response: with one that says so, or visibly if a part has been sent. */
  cutActive(): void;
  /** Stops listening and closes every connection at once. */
  forceClose(): void;
}

/** The connections of callers, by the requests on them. */
export interface CallerConnections {
  /** Returns a listener that handles the requests of each connection one after the other. */
  takeTurns(listener: RequestListener): RequestListener;
  startDraining(): void;
  /** Returns the responses that have not been sent. */
  getActive(): readonly ServerResponse[];
  countAnswered(): number;
  cutActive(): void;
}

/** Dependencies of the callers' HTTP application. */
export interface CallerApplicationOptions {
  readonly services: CallerServices;
  readonly administration: AdministrationServices;
  /** Whether the load balancer may send requests to this host. */
  readonly isReady: () => boolean;
}

/** Connection state of a request's caller, with the signal that aborts the request. */
export interface CallerConnection {
  readonly signal: AbortSignal;
  isDisconnected(): boolean;
  /** Ends the request for another reason, such as its deadline. */
  abort(): void;
}

/** Hono environment of the callers' HTTP application. */
export interface CallerEnvironment {
  Bindings: HttpBindings;
}
