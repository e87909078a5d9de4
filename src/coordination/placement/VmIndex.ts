/**
 * Index of the VMs that accept tasks in one scheduling cycle, by free processors. It finds a few
 * VMs with enough free capacity for a task without examining all of them, and always finds one if
 * there is one.
 */
import { fits, subtractResources, type Resources } from "../../protocol/Resources.ts";
import type { RandomSource } from "../../protocol/platform/RandomSource.ts";
import type { VmRecord } from "../../state/FleetView.ts";
import type { SearchOrder } from "./FitRule.ts";

/** Width of a bin of free processors, in thousandths of a core. */
const BIN_MILLI = 500;

/** A VM with its free capacity in this cycle. */
export interface Candidate {
  readonly vm: VmRecord;
  readonly free: Resources;
  /** Number of starts placed on the VM in this cycle. */
  readonly starts: number;
}

/** Query for VMs. */
export interface CandidateQuery {
  readonly wanted: Resources;
  readonly order: SearchOrder;
  /** Maximum number of VMs to return. */
  readonly count: number;
  /** Returns whether a VM with enough free capacity may be used. */
  readonly accepts: (candidate: Candidate) => boolean;
}

interface BinPosition {
  readonly bin: Candidate[];
  readonly offset: number;
}

/** Indexes the VMs of one scheduling cycle. */
export class VmIndex {
  private readonly _random: RandomSource;
  /** Bins of the VMs without accelerators; the VMs with accelerators have bins of their own. */
  private readonly _plainBins: Candidate[][] = [];
  private readonly _acceleratorBins: Candidate[][] = [];
  private readonly _positions = new Map<string, BinPosition>();

  /**
   * Creates an index.
   * @param vms - VMs that accept tasks.
   * @param random - Source of random numbers for the search order.
   */
  constructor(vms: readonly VmRecord[], random: RandomSource) {
    this._random = random;
    vms.forEach((vm) => {
      this._insert({ vm, free: subtractResources(vm.capacity, vm.committed), starts: 0 });
    });
  }

  /**
   * Gets a VM by the name of its agent.
   * @param agent - Name of the agent.
   */
  get(agent: string): Candidate | undefined {
    const position = this._positions.get(agent);
    return position?.bin[position.offset];
  }

  /**
   * Finds VMs with enough free capacity. A task without accelerators gets VMs with accelerators
   * only if no other VM can take it.
   * @param query - The query.
   */
  find(query: CandidateQuery): readonly Candidate[] {
    if (query.wanted.accelerators > 0) {
      return this._search(this._acceleratorBins, query);
    }
    const plain = this._search(this._plainBins, query);
    return plain.length > 0 ? plain : this._search(this._acceleratorBins, query);
  }

  /**
   * Commits resources of a task on a VM.
   * @param candidate - The VM.
   * @param wanted - Resources to commit.
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
   * Removes a VM from the index.
   * @param agent - Name of its agent.
   */
  remove(agent: string): void {
    const position = this._positions.get(agent);
    if (position === undefined) {
      return;
    }
    const last = position.bin.pop();
    if (last !== undefined && last.vm.agent !== agent) {
      position.bin[position.offset] = last;
      this._positions.set(last.vm.agent, position);
    }
    this._positions.delete(agent);
  }

  private _insert(candidate: Candidate): void {
    const bins = candidate.vm.capacity.accelerators > 0 ? this._acceleratorBins : this._plainBins;
    const binNumber = Math.max(0, Math.floor(candidate.free.processorsMilli / BIN_MILLI));
    while (bins.length <= binNumber) {
      bins.push([]);
    }
    const bin = bins[binNumber] ?? [];
    this._positions.set(candidate.vm.agent, { bin, offset: bin.length });
    bin.push(candidate);
  }

  private _search(bins: readonly Candidate[][], query: CandidateQuery): readonly Candidate[] {
    const found: Candidate[] = [];
    const first = Math.floor(query.wanted.processorsMilli / BIN_MILLI);
    const count = bins.length - first;
    const offset = query.order === "random" && count > 0 ? this._random.nextInt(count) : 0;
    for (let step = 0; step < count && found.length < query.count; step += 1) {
      const forward = first + ((step + offset) % count);
      const binNumber = query.order === "descending" ? bins.length - 1 - step : forward;
      this._searchBin(bins[binNumber] ?? [], query, found);
    }
    return found;
  }

  /** Searches a bin from a random offset, so that several owners do not choose the same VM. */
  private _searchBin(bin: readonly Candidate[], query: CandidateQuery, found: Candidate[]): void {
    const offset = bin.length > 1 ? this._random.nextInt(bin.length) : 0;
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
