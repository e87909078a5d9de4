/**
 * Entry point of the one binary.
 */
console.log("fireflylb");
