/**
 * The announcement with which a backend server registers at the agent of its VM. It is repeated
 * while the server lives; a server whose announcements cease is considered gone.
 */
import { z } from "zod";
import { calledAddress } from "./boundedFields.ts";
import { nameSchema } from "./config/ConfigDocument.ts";

const MAX_SLOTS = 10_000;

/** Schema of an announcement. */
export const serverAnnouncementSchema = z
  .object({
    service: nameSchema,
    id: nameSchema,
    /** Address on which the server accepts requests, as host:port. */
    address: calledAddress,
    /** Maximum number of concurrent requests. */
    slots: z.number().int().min(1).max(MAX_SLOTS),
    /** Maximum number of concurrent connections. */
    connections: z.number().int().min(1).max(MAX_SLOTS),
    /** Requests running at the server, from all senders. */
    inUse: z.number().int().min(0),
    /** Whether the server is shutting down gracefully and accepts no new requests. */
    draining: z.boolean(),
    /** Processors that the server requests, in thousandths of a core. */
    processorsMilli: z.number().int().min(0).default(0),
    /** Memory that the server requests, in bytes. */
    memoryBytes: z.number().int().min(0).default(0),
  })
  .readonly();

export type ServerAnnouncement = z.infer<typeof serverAnnouncementSchema>;
