/**
 * What one entry knows of one backend server: where it is, its reported load corrected by what this
 * entry has in flight there, its latency, and whether it is ejected.
 */
import type { ServerRecord, VmRecord } from "../../state/FleetView.ts";
import { OutlierEjector } from "./OutlierEjector.ts";

/** Weight of the newest latency in the moving average. */
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
   * Creates the state from a report.
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

  /** Name of the agent beside the server. */
  get agent(): string {
    return this._vm.agent;
  }

  /** Incarnation of the agent beside the server. */
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

  /** Whether the server or its agent takes no new work. */
  get draining(): boolean {
    return this._vm.draining || this._server.draining;
  }

  /** Slots of the server. */
  get slots(): number {
    return this._server.slots;
  }

  /** Requests that this entry has in flight at the server. */
  get inFlight(): number {
    return this._inFlight;
  }

  /** Moving average of the latency that this entry sees, in milliseconds. */
  get latencyMs(): number {
    return this._latencyMs;
  }

  /** Requests at the server: the last load reported, corrected by what this entry did since. */
  get load(): number {
    return Math.max(this._inFlight, this._reportedLoad + this._inFlight - this._inFlightAtReport);
  }

  /**
   * Takes in a newer report.
   * @param vm - The VM as reported.
   * @param server - The backend server as reported.
   */
  update(vm: VmRecord, server: ServerRecord): void {
    this._vm = vm;
    this._server = server;
    this.updateLoad(server.slotsInUse, server.queued);
  }

  /**
   * Takes in the load that came with a report or an answer.
   * @param slotsInUse - Slots in use at the server.
   * @param queued - Requests that wait at the agent.
   */
  updateLoad(slotsInUse: number, queued: number): void {
    this._reportedLoad = slotsInUse + queued;
    this._inFlightAtReport = this._inFlight;
  }

  /** Notes that this entry sends a request to the server. */
  recordSent(): void {
    this._inFlight += 1;
    this.ejector.recordSent();
  }

  /** Notes that a request of this entry has ended, however it ended. */
  recordEnd(): void {
    this._inFlight -= 1;
  }

  /**
   * Notes the latency of an answer.
   * @param latencyMs - Time from sending to the head of the answer, in milliseconds.
   */
  recordLatency(latencyMs: number): void {
    this._latencyMs += (latencyMs - this._latencyMs) * LATENCY_WEIGHT;
  }
}
