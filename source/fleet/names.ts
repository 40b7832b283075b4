/** The names of the leases. */

/** The lease whose holder gives a zone's endpoints their orders. */
export function zoneLeaseOf(zone: string): string {
  return `zone ${zone}`;
}
