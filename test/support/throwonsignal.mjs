/** Loaded before a program: it throws an error that nothing catches on SIGUSR2. */
process.on('SIGUSR2', () => {
  throw new Error('thrown by a test');
});
