/**
 * Closed-loop load on a service: each caller sends a request, checks the complete response, waits
 * for a random time and sends the next one. Each request has a unique path, by which the responses
 * are compared with the journals of the backend servers.
 */
import { createHash } from "node:crypto";
import { Agent } from "undici";
import { z } from "zod";
import { parseVerdict } from "../../src/protocol/Verdict.ts";
import type { Verdict } from "../../src/protocol/Verdict.ts";
import { RequestHeaders } from "../../src/protocol/RequestHeaders.ts";
import type { Clock } from "../../src/protocol/platform/Clock.ts";
import type { RandomSource } from "../../src/protocol/platform/RandomSource.ts";

/** Kind of request that callers send. */
export interface CallKind {
  readonly method: "GET" | "POST";
  /** First segment of the path. */
  readonly name: string;
  readonly requestClass: "urgent" | "normal" | "background";
  readonly tenant: string;
}

/** Options of the load. */
export interface CallerLoadOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Addresses of the entries, used in rotation as by a load balancer. */
  readonly entries: readonly string[];
  readonly service: string;
  /** Number of concurrent callers. */
  readonly callers: number;
  /** Mean time between a response and the next request of a caller, in milliseconds. */
  readonly thinkMs: number;
  readonly timeoutMs: number;
  /** Kinds of requests, chosen with equal probability. */
  readonly kinds: readonly CallKind[];
}

/** Outcome of a request as its caller saw it. */
export interface CallOutcome {
  readonly kind: CallKind;
  readonly path: string;
  /** HTTP status; undefined if the connection failed. */
  readonly status: number | undefined;
  readonly verdict: Verdict | undefined;
  readonly refusal: string | undefined;
  readonly latencyMs: number;
  /** Whether the response had status 200, was complete and belonged to the request. */
  readonly isValid: boolean;
}

const ResponseBody = z.object({ method: z.string(), path: z.string(), bodySha256: z.string() });

/** Closed-loop load of several callers. */
export class CallerLoad {
  private readonly _options: CallerLoadOptions;
  private readonly _outcomes: CallOutcome[] = [];
  private readonly _agent = new Agent({ keepAliveTimeout: 1_000 });
  private readonly _run: string;
  private _count = 0;
  private _isStopped = false;
  private _done: Promise<unknown> = Promise.resolve();

  /**
   * Creates a load that is not started.
   * @param options - Options of the load.
   */
  constructor(options: CallerLoadOptions) {
    this._options = options;
    this._run = Math.floor(options.random.next() * 1e9).toString(36);
  }

  /** Outcomes of the requests so far. */
  get outcomes(): readonly CallOutcome[] {
    return this._outcomes;
  }

  /** Starts sending requests. */
  start(): void {
    const callers = Array.from({ length: this._options.callers }, () => this._loop());
    this._done = Promise.all(callers);
  }

  /** Waits for the requests in flight, stops and returns all outcomes. */
  async stop(): Promise<readonly CallOutcome[]> {
    this._isStopped = true;
    await this._done;
    await this._agent.close();
    return this._outcomes;
  }

  private async _loop(): Promise<void> {
    const { clock, random, thinkMs } = this._options;
    while (!this._isStopped) {
      await clock.sleep(-thinkMs * Math.log(1 - random.next()));
      this._outcomes.push(await this._call());
    }
  }

  private async _call(): Promise<CallOutcome> {
    const { clock, random, kinds, entries } = this._options;
    const kind = kinds[random.nextInt(kinds.length)];
    if (kind === undefined) {
      throw new Error("kinds: expected at least one kind of request");
    }
    this._count += 1;
    const path = `/${kind.name}/${this._run}-${this._count}`;
    const entry = entries[this._count % entries.length] ?? "";
    const startedAt = clock.now();
    const failed = { status: undefined, verdict: undefined, refusal: undefined, isValid: false };
    const result = await this._send(kind, entry, path).catch(() => failed);
    return { kind, path, latencyMs: clock.now() - startedAt, ...result };
  }

  private async _send(
    kind: CallKind,
    entry: string,
    path: string,
  ): Promise<Pick<CallOutcome, "status" | "verdict" | "refusal" | "isValid">> {
    const { service, timeoutMs } = this._options;
    const body = kind.method === "POST" ? `body of ${path}` : "";
    const res = await this._agent.request({
      origin: `http://${entry}`,
      path,
      method: kind.method,
      headers: {
        [RequestHeaders.service]: service,
        [RequestHeaders.tenant]: kind.tenant,
        [RequestHeaders.requestClass]: kind.requestClass,
        [RequestHeaders.timeoutMs]: String(timeoutMs),
      },
      body: body === "" ? null : body,
      signal: AbortSignal.timeout(2 * timeoutMs),
    });
    const text = await res.body.text();
    return {
      status: res.statusCode,
      verdict: parseVerdict(getText(res.headers[RequestHeaders.verdict])),
      refusal: getText(res.headers[RequestHeaders.refusal]),
      isValid: res.statusCode === 200 && isResponseTo(text, kind.method, path, body),
    };
  }
}

function isResponseTo(text: string, method: string, path: string, body: string): boolean {
  const parsed = ResponseBody.safeParse(parseJson(text));
  const bodySha256 = createHash("sha256").update(body).digest("hex");
  return (
    parsed.success &&
    parsed.data.method === method &&
    parsed.data.path === path &&
    parsed.data.bodySha256 === bodySha256
  );
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function getText(value: string | readonly string[] | undefined): string | undefined {
  return typeof value === "string" ? value : value?.[0];
}
