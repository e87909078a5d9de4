/**
 * State of one backend server as one entry sees it: its address, its reported load corrected by the
 * entry's own requests in flight, its latency, and whether it is ejected.
 */
import type { ServerRecord, VmRecord } from "../../state/FleetView.ts";
import { OutlierEjector } from "./OutlierEjector.ts";

/** Weight of a new sample in the moving average of the latency. */
const LATENCY_WEIGHT = 0.03;
const INITIAL_LATENCY_MS = 5;

/** One backend server as one entry sees it. */
export class ServerState {
  readonly id: string;
  readonly service: string;
  readonly ejector = new OutlierEjector();
  private _vm: VmRecord;
  private _server: ServerRecord;
  private _inFlight = 0;
  private _latencyMs = INITIAL_LATENCY_MS;
  private _reportedLoad = 0;
  private _inFlightAtReport = 0;

  /**
   * Creates the state from a report of the server's agent.
   * @param vm - The VM as reported.
   * @param server - The backend server as reported.
   */
  constructor(vm: VmRecord, server: ServerRecord) {
    this.id = server.id;
    this.service = server.service;
    this._vm = vm;
    this._server = server;
    this.updateLoad(server.slotsInUse, server.queued);
  }

  /** Name of the agent on the server's VM. */
  get agent(): string {
    return this._vm.agent;
  }

  /** Incarnation of the agent on the server's VM. */
  get incarnation(): string {
    return this._vm.incarnation;
  }

  /** Address to which requests are sent. */
  get requestAddress(): string {
    return this._vm.requestAddress;
  }

  /** Address of the agent's control interface. */
  get controlAddress(): string {
    return this._vm.controlAddress;
  }

  /** Availability zone of the server. */
  get zone(): string {
    return this._vm.zone;
  }

  /** Whether the server or its agent accepts no new requests. */
  get draining(): boolean {
    return this._vm.draining || this._server.draining;
  }

  /** Number of slots of the server. */
  get slots(): number {
    return this._server.slots;
  }

  /** Number of requests that this entry has in flight at the server. */
  get inFlight(): number {
    return this._inFlight;
  }

  /** Moving average of the latency observed by this entry, in milliseconds. */
  get latencyMs(): number {
    return this._latencyMs;
  }

  /**
   * Estimated number of requests at the server: the last reported load, corrected by the requests
   * that this entry has sent and completed since.
   */
  get load(): number {
    return Math.max(this._inFlight, this._reportedLoad + this._inFlight - this._inFlightAtReport);
  }

  /**
   * Updates the state from a newer report.
   * @param vm - The VM as reported.
   * @param server - The backend server as reported.
   */
  update(vm: VmRecord, server: ServerRecord): void {
    this._vm = vm;
    this._server = server;
    this.updateLoad(server.slotsInUse, server.queued);
  }

  /**
   * Updates the load from a report or a response.
   * @param slotsInUse - Slots in use at the server.
   * @param queued - Requests queued at the agent.
   */
  updateLoad(slotsInUse: number, queued: number): void {
    this._reportedLoad = slotsInUse + queued;
    this._inFlightAtReport = this._inFlight;
  }

  /** Records that this entry sends a request to the server. */
  recordSent(): void {
    this._inFlight += 1;
    this.ejector.recordSent();
  }

  /** Records that a request of this entry has ended, with whatever outcome. */
  recordEnd(): void {
    this._inFlight -= 1;
  }

  /**
   * Records the latency of a response.
   * @param latencyMs - Time from sending the request to receiving the head of the response, in
   * milliseconds.
   */
  recordLatency(latencyMs: number): void {
    this._latencyMs += (latencyMs - this._latencyMs) * LATENCY_WEIGHT;
  }
}
