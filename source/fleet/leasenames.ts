/** Names of leases. */

/**
 * The lease of a zone. Its holder polls the zone's cold endpoints and grants
 * their slots.
 */
export function zoneLeaseName(zone: string): string {
  return `zone ${zone}`;
}
