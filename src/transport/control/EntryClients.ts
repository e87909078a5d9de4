/**
 * Cache of Connect clients of the entries' control service, by address.
 */
import type { Client } from "@connectrpc/connect";
import { EntryControl } from "../../protocol/generated/fireflylb/v1/control_pb.ts";
import { ControlClients } from "./ControlClients.ts";

/** Client of an entry's control service. */
export type EntryControlClient = Client<typeof EntryControl>;

/** Clients of entries. */
export class EntryClients extends ControlClients<typeof EntryControl> {
  /** Creates an empty cache. */
  constructor() {
    super(EntryControl);
  }
}
