/**
 * Processor usage of a VM by kind of batch work.
 */

/** Share of a VM's processors used by one kind of batch work, from 0 to 1. */
export interface KindShare {
  readonly kind: string;
  readonly share: number;
}
