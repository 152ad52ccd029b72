/** Callers' requests on their way through one entry host. */
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

/** Names of backend servers and their base URLs. */
export type GetBackendServerAddress = (backendServer: BackendServerId) => string;

/** One kind of problem that a caller can see. */
export interface ProblemType {
  readonly code: string;
  readonly status: 400 | 401 | 403 | 404 | 413 | 422 | 502 | 503 | 504;
  readonly title: string;
}

/** What is added to a problem in one case. */
export interface ProblemDetails {
  readonly request?: RequestId;
  readonly detail?: string;
  readonly retryAfter?: Milliseconds;
}

/** A problem document as RFC 9457 describes it. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: ProblemType['status'];
  /** What is known of the request's execution. */
  readonly execution: Execution;
  /** The same for OpenAI-style clients, which read nothing else; `type` is the execution. */
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

/** A chat completion request as far as routing needs to know it. */
export interface ChatRequest {
  readonly model: string;
  readonly stream: boolean;
  /** The caller wants the chunk with token counts. */
  readonly includeUsage: boolean;
  readonly maximumOutputTokens: number;
  readonly promptWords: readonly string[];
  /** The body for the engine. */
  readonly engineBody: string;
}

/** A whole chat completion in OpenAI's form. */
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

/** A caller whose key is known, with the tier that the request runs at. */
export interface AuthenticatedCaller {
  readonly customer: CustomerSettings;
  readonly rank: TierRank;
  readonly tier: TierSettings;
}

/** What the handlers of callers' requests need of the entry host around them. */
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
  /** The settings in force; undefined until the first are known. */
  readonly tryGetSettings: () => SettingsView | undefined;
  /** Counts requests in hand and tells whether new ones are taken. */
  readonly admission: Admission;
}

/** A chat request on its way through this entry host. */
export interface ChatJob {
  readonly grantRequest: GrantRequest;
  readonly callerConnection: CallerConnection;
  readonly tier: string;
  readonly model: string;
  readonly includeUsage: boolean;
  readonly engineBody: string;
  /** The tier's bound between tokens. */
  readonly betweenTokens: Milliseconds;
  readonly getAddress: GetBackendServerAddress;
}

/** How a chat request ended. */
export type ChatOutcome =
  | Exclude<GrantResult, { readonly kind: 'granted' }>
  | { readonly kind: 'ended'; readonly heldGrant: HeldGrant; readonly stream: StreamResult };

/** A call of a plain service on its way through this entry host. */
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

/** Runs orders at their backend servers for the order desk. */
export interface OrderDispatcher {
  readonly dispatch: DispatchOrder;
  /** Keeps the job of an order for as long as it is submitted. */
  withJob(
    order: OrderRequest,
    job: ServiceJob,
    submit: () => Promise<OrderResult>,
  ): Promise<OrderResult>;
}

/** The listener for callers of one entry host. */
export interface CallerListener {
  readonly address: string;
  /** Stops listening and waits for open connections to end. */
  close(): Promise<void>;
  /** Stops listening and breaks every connection. */
  forceClose(): void;
}

/** What the callers' application serves. */
export interface CallerApplicationOptions {
  readonly services: CallerServices;
  readonly administration: AdministrationServices;
  /** Whether the balancer may send requests here. */
  readonly isReady: () => boolean;
}

/** Whether the caller of a request is still there, and the signal that ends the request. */
export interface CallerConnection {
  readonly signal: AbortSignal;
  isDisconnected(): boolean;
  /** Ends the request for another reason, such as its deadline. */
  abort(): void;
}

/** The environment of the callers' HTTP application. */
export interface CallerEnvironment {
  Bindings: HttpBindings;
}
