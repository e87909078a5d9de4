/**
 * What kinds of batch work use of a VM.
 */

/** Share of a VM's processors that a kind of batch work uses, from 0 to 1. */
export interface KindShare {
  readonly kind: string;
  readonly share: number;
}
