/**
 * Index of the VMs that may take tasks in one round, by free processors. It finds a few VMs with
 * room for a task without looking at all of them, and finds one whenever there is one.
 */
import { fits, subtractResources, type Resources } from "../../protocol/Resources.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { VmRecord } from "../../state/FleetView.ts";
import type { SearchOrder } from "./FitRule.ts";

/** Width of a bin of free processors, in thousandths of a core. */
const BIN_MILLI = 500;

/** A VM with what is left of it in this round. */
export interface Candidate {
  readonly vm: VmRecord;
  readonly free: Resources;
  /** Starts placed on the VM in this round. */
  readonly starts: number;
}

/** What a search looks for. */
export interface CandidateQuery {
  readonly wanted: Resources;
  readonly order: SearchOrder;
  /** Most VMs to return. */
  readonly count: number;
  /** Whether a VM that has room may be used. */
  readonly accepts: (candidate: Candidate) => boolean;
}

interface BinPosition {
  readonly bin: Candidate[];
  readonly offset: number;
}

/** VMs of one round. */
export class VmIndex {
  private readonly _random: RandomSource;
  /** Bins of VMs without accelerators and of VMs with them. */
  private readonly _plainBins: Candidate[][] = [];
  private readonly _acceleratorBins: Candidate[][] = [];
  private readonly _positions = new Map<string, BinPosition>();

  /**
   * Creates an index.
   * @param vms - VMs that may take tasks.
   * @param random - Random numbers for the order within a bin.
   */
  constructor(vms: readonly VmRecord[], random: RandomSource) {
    this._random = random;
    vms.forEach((vm) => {
      this._insert({ vm, free: subtractResources(vm.capacity, vm.committed), starts: 0 });
    });
  }

  /**
   * Gives a VM by the name of its agent.
   * @param agent - Name of the agent.
   */
  get(agent: string): Candidate | undefined {
    const place = this._positions.get(agent);
    return place?.bin[place.offset];
  }

  /**
   * Finds VMs with room. VMs with accelerators are kept for tasks that need them as far as others
   * have room.
   * @param query - What is looked for.
   */
  find(query: CandidateQuery): readonly Candidate[] {
    if (query.wanted.accelerators > 0) {
      return this._search(this._acceleratorBins, query);
    }
    const plain = this._search(this._plainBins, query);
    return plain.length > 0 ? plain : this._search(this._acceleratorBins, query);
  }

  /**
   * Takes an amount from a VM.
   * @param candidate - The VM.
   * @param wanted - Amount that a task takes.
   */
  commit(candidate: Candidate, wanted: Resources): void {
    this.remove(candidate.vm.agent);
    this._insert({
      vm: candidate.vm,
      free: subtractResources(candidate.free, wanted),
      starts: candidate.starts + 1,
    });
  }

  /**
   * Takes a VM out of the index.
   * @param agent - Name of its agent.
   */
  remove(agent: string): void {
    const place = this._positions.get(agent);
    if (place === undefined) {
      return;
    }
    const last = place.bin.pop();
    if (last !== undefined && last.vm.agent !== agent) {
      place.bin[place.offset] = last;
      this._positions.set(last.vm.agent, place);
    }
    this._positions.delete(agent);
  }

  private _insert(candidate: Candidate): void {
    const bins = candidate.vm.capacity.accelerators > 0 ? this._acceleratorBins : this._plainBins;
    const number = Math.max(0, Math.floor(candidate.free.processorsMilli / BIN_MILLI));
    while (bins.length <= number) {
      bins.push([]);
    }
    const bin = bins[number] ?? [];
    this._positions.set(candidate.vm.agent, { bin, offset: bin.length });
    bin.push(candidate);
  }

  private _search(bins: readonly Candidate[][], query: CandidateQuery): readonly Candidate[] {
    const found: Candidate[] = [];
    const first = Math.floor(query.wanted.processorsMilli / BIN_MILLI);
    const count = bins.length - first;
    const offset = query.order === "random" && count > 0 ? this._random.below(count) : 0;
    for (let step = 0; step < count && found.length < query.count; step += 1) {
      const forward = first + ((step + offset) % count);
      const number = query.order === "descending" ? bins.length - 1 - step : forward;
      this._searchBin(bins[number] ?? [], query, found);
    }
    return found;
  }

  /** Looks at a bin from a random place on, so that several owners do not choose the same VM. */
  private _searchBin(bin: readonly Candidate[], query: CandidateQuery, found: Candidate[]): void {
    const offset = bin.length > 1 ? this._random.below(bin.length) : 0;
    for (let step = 0; step < bin.length && found.length < query.count; step += 1) {
      const candidate = bin[(step + offset) % bin.length];
      if (
        candidate !== undefined &&
        fits(query.wanted, candidate.free) &&
        query.accepts(candidate)
      ) {
        found.push(candidate);
      }
    }
  }
}
