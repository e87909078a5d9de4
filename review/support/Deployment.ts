/**
 * A small deployment on loopback addresses: the store's stand-in, the entries and agents as separate
 * processes, and one worker for each agent.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { findFreeAddresses } from "../../standins/support/freePorts.ts";
import { BoundedStore } from "./BoundedStore.ts";
import type { CaseRecord } from "./CaseRecord.ts";
import { killPrograms, Program } from "./Program.ts";
import { sendJson, type Answer } from "./sendJson.ts";
import { renderTemplate } from "./template.ts";
import { HOLD_MAX_MS, type TaskNeeds } from "./WorkerLife.ts";
import { WorkerStandin } from "./WorkerStandin.ts";

export const HOST = "nony24.example";
export const PREFIX = "/lohu930/";
export const OTHER_PREFIX = "/pufi791/";
const SERVICE = "huvo11a";
const ZONES = ["tbilisi-a", "tbilisi-b", "tbilisi-c"];
const START_MS = 15_000;

/** Size of a deployment and what its tasks need. */
export interface DeploymentOptions {
  readonly record: CaseRecord;
  readonly entries: number;
  readonly workers: number;
  readonly cpu: number;
  readonly memMb: number;
  readonly getNeeds: (task: string) => TaskNeeds;
}

/** An entry with the addresses that clients and the platform use. */
export interface EntryNode {
  readonly program: Program;
  readonly front: string;
  readonly ready: string;
}

/** An agent with its worker. */
export interface SideNode {
  readonly program: Program;
  readonly worker: WorkerStandin;
  /** Address for the worker's heartbeats. */
  readonly announcements: string;
}

/** A running deployment. */
export class Deployment {
  readonly store: BoundedStore;
  readonly entries: readonly EntryNode[];
  readonly sides: readonly SideNode[];
  private readonly _record: CaseRecord;
  private readonly _folder: string;

  private constructor(
    options: DeploymentOptions,
    kv: string,
    folder: string,
    addresses: readonly string[],
  ) {
    const { entries, workers, record } = options;
    this._record = record;
    this._folder = folder;
    this.store = new BoundedStore(kv);
    const free = [...addresses];
    const shared = { folder, record, kv };
    this.entries = Array.from({ length: entries }, (_, index) =>
      createEntry(index, shared, free.splice(0, 2)),
    );
    this.sides = Array.from({ length: workers }, (_, index) =>
      createSide(index, shared, options, free.splice(0, 3)),
    );
  }

  /**
   * Starts a deployment and waits until its entries are ready and its workers are known.
   * @param options - Its size.
   */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const [kv = "", ...addresses] = await findFreeAddresses(
      1 + 2 * options.entries + 3 * options.workers,
    );
    const folder = mkdtempSync(join(tmpdir(), "fireflylb-review-"));
    const deployment = new Deployment(options, kv, folder, addresses);
    await deployment._start();
    return deployment;
  }

  /** Ends all processes and removes the temporary folder. */
  async end(): Promise<void> {
    killPrograms();
    this.sides.forEach(({ worker }) => {
      worker.end();
    });
    await this.store.stop();
    rmSync(this._folder, { recursive: true, force: true });
  }

  /**
   * Sends a client's request to an entry.
   * @param entry - The entry.
   * @param method - Method.
   * @param path - Path.
   * @param body - Body; undefined for none.
   */
  async call(entry: EntryNode, method: string, path: string, body?: unknown): Promise<Answer> {
    const headers = { host: HOST, "deadline-ms": "3000" };
    const answer = await sendJson(method, entry.front, path, body, headers);
    const text = JSON.stringify(answer.body).slice(0, 120);
    const target = `${method} ${path} at ${entry.program.name}`;
    this._record.add("client", `${target} -> ${answer.status} ${text}`);
    return answer;
  }

  /** The entry that schedules the pool; undefined if none does. */
  get leader(): EntryNode | undefined {
    const text = this.store.model.read(`scheduler/${SERVICE}`)?.value ?? "{}";
    const name = (JSON.parse(text) as { readonly entry?: string }).entry;
    return this.entries.find(({ program }) => program.name === name);
  }

  /**
   * Puts a manifest with the given routes, as the operator does.
   * @param version - Version of the manifest.
   * @param routes - Names of the routes and their prefixes.
   */
  putManifest(version: number, routes: readonly (readonly [string, string])[]): void {
    this.store.put("op/config", {
      version,
      routes: routes.map(([name, prefix]) => ({
        ...{ name, host: HOST, prefix, kind: "unsafe", timeout_ms: 3_000, service: SERVICE },
        ...{ target_latency_ms: 250, priority: prefix === OTHER_PREFIX ? 2 : 0 },
        ...{ max_attempts: 4, stretch: 1.5 },
      })),
      services: [{ name: SERVICE, admission_control: true, spare: false }],
      limits: { max_header_bytes: 16_384, max_body_bytes: 262_144 },
    });
    this._record.add("operator", `manifest ${version}: ${routes.flat().join(" ")}`);
  }

  private async _start(): Promise<void> {
    await this.store.start();
    this.putManifest(3, [
      ["r-3hwrr6x", PREFIX],
      ["r-73d3zji", OTHER_PREFIX],
    ]);
    [...this.entries, ...this.sides].forEach(({ program }) => {
      program.start();
    });
    await until("the entries are ready", START_MS, () => this._areEntriesReady());
    await Promise.all(this.sides.map(({ worker }) => worker.start()));
    await sleep(2_500);
  }

  private async _areEntriesReady(): Promise<boolean> {
    const answers = await Promise.all(
      this.entries.map(({ ready }) => sendJson("GET", ready, "/v1/ready")),
    );
    return answers.every(({ status }) => status === 200) && this.leader !== undefined;
  }
}

interface Shared {
  readonly folder: string;
  readonly record: CaseRecord;
  readonly kv: string;
}

function createEntry(
  index: number,
  { folder, record, kv }: Shared,
  [front = "", ready = ""]: readonly string[],
): EntryNode {
  const zone = ZONES[index % ZONES.length] ?? "";
  const name = `front-${zone}-${index + 1}`;
  const settings = renderTemplate("deploy/entry.ini", {
    ...{ node: name, zone, listen_addrs: { front, ready }, platform: { address: kv } },
    limits: { link_mbps: 1_000, cpu_share: 0.675, cores: 1 },
    bounds: { hold_max_ms: HOLD_MAX_MS },
  });
  return { program: new Program({ role: "entry", name, settings, folder, record }), front, ready };
}

function createSide(
  index: number,
  { folder, record, kv }: Shared,
  { cpu, memMb, getNeeds }: DeploymentOptions,
  [control = "", announcements = "", app = ""]: readonly string[],
): SideNode {
  const zone = ZONES[index % ZONES.length] ?? "";
  const name = `side-${zone}-${index + 1}`;
  const [ip = "", port = ""] = control.split(":");
  const settings = renderTemplate("deploy/agent.ini", {
    ...{ node: name, zone, service: SERVICE, ip, internal_ports: [Number(port)], app },
    ...{ listen_addrs: { control: announcements }, platform: { address: kv } },
  });
  const worker = new WorkerStandin({
    ...{ name: `worker-${index + 1}`, address: app, announcements, service: SERVICE, zone },
    ...{ rack: `r1-${Math.floor(index / 3) + 1}`, cpu, memMb, getNeeds, record },
  });
  const program = new Program({ role: "agent", name, settings, folder, record });
  return { program, worker, announcements };
}

/**
 * Waits for some time.
 * @param ms - The time, in milliseconds.
 */
export async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Waits until a condition holds; throws if it does not in time.
 * @param what - The condition, for the error.
 * @param timeoutMs - Longest wait.
 * @param isMet - Returns whether it holds.
 */
export async function until(
  what: string,
  timeoutMs: number,
  isMet: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await isMet())) {
    if (performance.now() > deadline) {
      throw new Error(`not in time: ${what}`);
    }
    await sleep(25);
  }
}
