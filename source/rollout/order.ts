/** An operator's order to move a service to a software version. */
import * as z from 'zod';

const MAX_NAME_LENGTH = 256;
/** Longest duration of an order, a day; a longer one is shortened to it. */
const MAX_DURATION_MILLISECONDS = 86_400_000;

/** An order as an operator writes it. */
export const rolloutOrderSchema = z.object({
  service: z.string().max(MAX_NAME_LENGTH),
  /** The software version to move to. */
  to: z.string().max(MAX_NAME_LENGTH),
  /** Milliseconds until the deadline; 0 where the order states none. */
  duration: z
    .number()
    .transform(value => Math.min(value, MAX_DURATION_MILLISECONDS)),
});
export type RolloutOrder = z.infer<typeof rolloutOrderSchema>;

/** An order with its place in the store, which tells repeated orders apart. */
export const placedOrderSchema = rolloutOrderSchema.extend({
  offset: z.number().int().nonnegative(),
  /** The store's era; absent where it is not known. */
  era: z.number().int().nonnegative().optional(),
});
export type PlacedOrder = z.infer<typeof placedOrderSchema>;

/** Whether two orders ask for the same. */
export function hasSameContent(
  one: RolloutOrder,
  other: RolloutOrder,
): boolean {
  return (
    one.service === other.service &&
    one.to === other.to &&
    one.duration === other.duration
  );
}

/**
 * Whether two readings are of one order. Offsets of different eras are not
 * compared: after a restore, the same content is taken for the same order.
 *
 * ```ts
 * if (!isSameOrder(known, read)) begin(read);
 * ```
 */
export function isSameOrder(one: PlacedOrder, other: PlacedOrder): boolean {
  if (!hasSameContent(one, other)) return false;
  return one.offset === other.offset || one.era !== other.era;
}
