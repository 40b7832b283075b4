/** The link of a host that has no recorder. */
export const NO_RECORDER = {
  recorder: () => undefined,
  deliver: () => {},
  confirm: () => {},
  onMissed: () => {},
};
