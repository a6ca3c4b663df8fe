;; Calls go to hall-a where there is a choice. One with under 600 ms left is left to the invoker's own choice.
(module
  (import "harrieryoke" "number" (func $number (param i32) (result f64)))
  (import "harrieryoke" "prefer" (func $prefer (param i32 i32)))
  (import "harrieryoke" "label" (func $label (param i32 i32)))
  (memory (export "memory") 1)
  (data (i32.const 0) "zone:hall-a")
  (data (i32.const 16) "home")
  (func (export "on_request") (result i32)
    (if (f64.ge (call $number (i32.const 1)) (f64.const 600))
      (then
        (call $prefer (i32.const 0) (i32.const 11))
        (call $label (i32.const 16) (i32.const 4))))
    (i32.const 0)))
