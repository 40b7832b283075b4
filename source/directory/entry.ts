/** What an endpoint says of itself in the store. */
import * as z from 'zod';

/** An endpoint's entry, as it stood when it was read. */
export const endpointEntrySchema = z.object({
  /** Names one start of one endpoint. */
  id: z.string(),
  service: z.string(),
  address: z.string(),
  zone: z.string(),
  slots: z.number(),
  leaving: z.boolean(),
  /** Milliseconds for which it is still in its cold start. */
  coldFor: z.number(),
  /** Unix milliseconds of its start; tells starts under the same id apart. */
  born: z.number().optional(),
  /** Whether it may be taken away at short notice. */
  reclaimable: z.boolean(),
});
export type EndpointEntry = z.infer<typeof endpointEntrySchema>;
